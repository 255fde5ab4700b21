#define BOOST_TEST_MODULE load
#include "../qt_application.hpp"

#include <boost/test/unit_test.hpp>

BOOST_TEST_GLOBAL_FIXTURE(qt_application);
