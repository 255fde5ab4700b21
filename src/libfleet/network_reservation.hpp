#pragma once

#include "libcaraway/base/error.hpp"

#include <QTcpServer>

#include <memory>

namespace fleet
{

/// Keeps a loopback network, 127.<number>.0.0/16, for one fleet of this machine, as long as the
/// object lives. The processes of a fleet listen on fixed ports there: two fleets that drew the
/// same number would talk to each other's routers, which shows as changes taken by somebody else.
class network_reservation
{
public:
    /// That network. Errors: another fleet has it.
    static caraway::base::result<network_reservation> take(int number);
    /// Any that is free. Errors: none is.
    static caraway::base::result<network_reservation> take_any();

    int number() const
    {
        return number_;
    }

private:
    network_reservation(int number, std::unique_ptr<QTcpServer> lock);

    int number_;
    /// Listening there is what keeps it; the system frees it however the process ends.
    std::unique_ptr<QTcpServer> lock_;
};

}  // namespace fleet
