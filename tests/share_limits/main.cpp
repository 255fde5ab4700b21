#define BOOST_TEST_MODULE share_limits
#include <boost/test/unit_test.hpp>
