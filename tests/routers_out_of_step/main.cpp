#define BOOST_TEST_MODULE routers_out_of_step
#include <boost/test/unit_test.hpp>
