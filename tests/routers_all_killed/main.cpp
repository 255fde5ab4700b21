#define BOOST_TEST_MODULE routers_all_killed
#include <boost/test/unit_test.hpp>
