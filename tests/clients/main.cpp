#define BOOST_TEST_MODULE clients
#include <boost/test/unit_test.hpp>
