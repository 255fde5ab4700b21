#define BOOST_TEST_MODULE share_doors
#include <boost/test/unit_test.hpp>
