#define BOOST_TEST_MODULE share_waves
#include <boost/test/unit_test.hpp>
