#define BOOST_TEST_MODULE held_back
#include <boost/test/unit_test.hpp>
