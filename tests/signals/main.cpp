#define BOOST_TEST_MODULE signals
#include <boost/test/unit_test.hpp>
