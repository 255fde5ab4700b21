#pragma once

#include "standin_platform/service_gate.hpp"

#include <QByteArray>
#include <QHash>

namespace standin_platform
{

/// Objects of the one bucket by the published path-style interface, in memory.
class object_store
{
public:
    explicit object_store(const caraway::base::clock& clock);

    void handle(const service_gate::call_ptr& call);

    service_gate& gate();

private:
    standin::answer put(const QByteArray& key, const QByteArray& content);
    standin::answer get(const QByteArray& key) const;

    service_gate gate_;
    QHash<QByteArray, QByteArray> objects_;
};

}  // namespace standin_platform
