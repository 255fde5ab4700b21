#define BOOST_TEST_MODULE hot_parts
#include <boost/test/unit_test.hpp>
