#define BOOST_TEST_MODULE share_gaps
#include <boost/test/unit_test.hpp>
