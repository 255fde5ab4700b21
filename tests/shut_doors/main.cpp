#define BOOST_TEST_MODULE shut_doors
#include <boost/test/unit_test.hpp>
