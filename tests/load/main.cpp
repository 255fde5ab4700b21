#define BOOST_TEST_MODULE load
#include <boost/test/unit_test.hpp>

#include <QCoreApplication>

namespace
{

/// The one application object that Qt wants.
struct application
{
    int argc = 1;
    char name[10] = "test_load";
    char* argv[2] = {name, nullptr};
    QCoreApplication qt{argc, argv};
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(application);
