#define BOOST_TEST_MODULE store_calls_at_start
#include <boost/test/unit_test.hpp>
