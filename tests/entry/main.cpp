#define BOOST_TEST_MODULE entry
#include <boost/test/unit_test.hpp>
