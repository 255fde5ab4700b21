#include "libfleet/network_reservation.hpp"

#include <QHostAddress>
#include <QRandomGenerator>

namespace fleet
{

namespace
{

using caraway::base::errc;
using caraway::base::make_error;
using caraway::base::result;

constexpr int first_network = 20;
constexpr int last_network = 249;
/// No process of a fleet listens at this address and port.
constexpr quint16 lock_port = 47001;

}  // namespace

network_reservation::network_reservation(int number, std::unique_ptr<QTcpServer> lock)
    : number_(number), lock_(std::move(lock))
{
}

result<network_reservation> network_reservation::take(int number)
{
    auto lock = std::make_unique<QTcpServer>();
    if (!lock->listen(QHostAddress(QString("127.%1.255.254").arg(number)), lock_port))
    {
        return make_error(errc::unavailable, "The network 127." + std::to_string(number) +
                                                 " belongs to another fleet: " +
                                                 lock->errorString().toStdString() + ".");
    }
    return network_reservation(number, std::move(lock));
}

result<network_reservation> network_reservation::take_any()
{
    constexpr int count = last_network - first_network + 1;
    const int begin = QRandomGenerator::global()->bounded(count);
    for (int step = 0; step < count; ++step)
    {
        auto taken = take(first_network + (begin + step) % count);
        if (taken)
        {
            return taken;
        }
    }
    return make_error(errc::resource_exhausted, "All loopback networks belong to fleets.");
}

}  // namespace fleet
