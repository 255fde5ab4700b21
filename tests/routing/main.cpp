#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>
