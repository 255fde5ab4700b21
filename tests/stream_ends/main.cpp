#define BOOST_TEST_MODULE stream_ends
#include <boost/test/unit_test.hpp>
