#define BOOST_TEST_MODULE planned_stop
#include <boost/test/unit_test.hpp>
