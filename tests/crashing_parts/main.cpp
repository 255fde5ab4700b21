#define BOOST_TEST_MODULE crashing_parts
#include <boost/test/unit_test.hpp>
