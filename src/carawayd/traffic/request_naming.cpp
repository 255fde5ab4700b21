#include "carawayd/traffic/request_naming.hpp"

#include <QString>

namespace carawayd::traffic
{

namespace
{

constexpr int radix_hex = 16;

}  // namespace

caraway::base::request_id make_request_id(const caraway::base::node_ref& router,
                                          caraway::base::request_number number)
{
    const auto life = QString::number(static_cast<qulonglong>(router.life), radix_hex);
    const auto count = QString::number(static_cast<qulonglong>(number));
    return caraway::base::request_id(router.id.str() + "-" + life.toStdString() + "-" +
                                     count.toStdString());
}

}  // namespace carawayd::traffic
