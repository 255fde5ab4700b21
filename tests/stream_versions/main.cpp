#define BOOST_TEST_MODULE stream_versions
#include <boost/test/unit_test.hpp>
