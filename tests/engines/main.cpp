#define BOOST_TEST_MODULE engines
#include <boost/test/unit_test.hpp>
