#define BOOST_TEST_MODULE odd_entries
#include <boost/test/unit_test.hpp>
