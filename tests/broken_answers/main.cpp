#define BOOST_TEST_MODULE broken_answers
#include <boost/test/unit_test.hpp>
