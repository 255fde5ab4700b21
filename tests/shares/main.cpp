#define BOOST_TEST_MODULE shares
#include <boost/test/unit_test.hpp>
