#define BOOST_TEST_MODULE standing_still
#include <boost/test/unit_test.hpp>
