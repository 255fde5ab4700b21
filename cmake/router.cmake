# The router on one thread without Qt, for VMs of a tenth of a core: decisions, HTTP layer, process, and the adapter to
# the users' platform. docs/design/users-platform.md has the figures.
set(lib ${PROJECT_SOURCE_DIR}/src/libcaraway)
file(GLOB router_sources CONFIGURE_DEPENDS
    ${lib}/routing/*.cpp ${lib}/routing/*/*.cpp ${lib}/http/*.cpp ${lib}/telemetry/*.cpp ${lib}/router/*.cpp
    ${PROJECT_SOURCE_DIR}/platform/*.cpp)
# Parts of the older folders that need no Qt.
list(APPEND router_sources
    ${lib}/attempts/crash_detector.cpp ${lib}/attempts/crash_suspects.cpp
    ${lib}/attempts/upstream_incarnation.cpp
    ${lib}/base/error.cpp ${lib}/scheduling/stable_hash.cpp ${lib}/scheduling/upstream_health.cpp
    ${lib}/scheduling/upstream_rests.cpp
    ${lib}/scheduling/actions.cpp ${lib}/metrics/registry.cpp ${lib}/metrics/histogram.cpp
    ${lib}/metrics/prometheus_format.cpp)

add_library(caraway_router STATIC ${router_sources})
target_include_directories(caraway_router PUBLIC ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
target_include_directories(caraway_router SYSTEM PUBLIC ${Boost_INCLUDE_DIRS})
target_link_libraries(caraway_router PUBLIC nlohmann_json::nlohmann_json CLI11::CLI11 Threads::Threads)

add_executable(caraway-router ${PROJECT_SOURCE_DIR}/src/caraway_router/main.cpp)
target_link_libraries(caraway-router PRIVATE caraway_router)
set_target_properties(caraway-router PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
