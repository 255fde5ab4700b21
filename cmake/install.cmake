# What is installed beside the programs: manual pages and the systemd unit, which names the folder
# that the daemon is installed into.
configure_file(${CMAKE_CURRENT_SOURCE_DIR}/dist/carawayd.service
    ${CMAKE_CURRENT_BINARY_DIR}/dist/carawayd.service @ONLY)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/dist/carawayd.service DESTINATION lib/systemd/system)
install(FILES man/carawayctl.1 DESTINATION ${CMAKE_INSTALL_MANDIR}/man1)
install(FILES man/carawayd.8 DESTINATION ${CMAKE_INSTALL_MANDIR}/man8)
