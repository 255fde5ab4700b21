#define BOOST_TEST_MODULE leaving_notice
#include <boost/test/unit_test.hpp>
