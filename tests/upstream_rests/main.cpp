#define BOOST_TEST_MODULE users_platform
#include <boost/test/unit_test.hpp>
