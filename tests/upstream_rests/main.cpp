#define BOOST_TEST_MODULE upstream_rests
#include <boost/test/unit_test.hpp>
