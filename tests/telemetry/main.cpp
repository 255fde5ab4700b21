#define BOOST_TEST_MODULE telemetry
#include <boost/test/unit_test.hpp>
