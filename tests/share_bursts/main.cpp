#define BOOST_TEST_MODULE share_bursts
#include <boost/test/unit_test.hpp>
