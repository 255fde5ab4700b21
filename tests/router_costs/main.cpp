#define BOOST_TEST_MODULE router_costs
#include <boost/test/unit_test.hpp>
