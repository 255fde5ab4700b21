#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/config/records.hpp"
#include "libcaraway/net/platform_types.hpp"

#include <QByteArray>

#include <cstddef>
#include <functional>
#include <vector>

namespace caraway::net
{
class platform_client;
}

namespace carawayd::configuration
{

/// A document as it was accepted, with its hash checked.
struct stored_document
{
    caraway::base::config_version version{};
    caraway::config::sha256_hex hash;
    QByteArray bytes;
};

/// Reads what operators ask to see from the platform: open changes, the log, documents.
///
/// The table can't be scanned for changes, each of which is a partition of its own. So each open
/// change has a row in the partition `changes` besides (sort key: its id), which only makes it
/// found; what is shown is the change's own row. It is written after the change and removed after
/// its end; a row left over by a crash in between is removed by the next listing.
class configuration_queries
{
public:
    /// Changes read for one listing, at most.
    static constexpr std::size_t most_changes = 200;

    explicit configuration_queries(caraway::net::platform_client& platform);

    /// Changes that are neither accepted nor rejected, by their ids.
    void changes(const caraway::net::platform_callback<std::vector<caraway::config::change_record>>&
                     done) const;
    /// One change in any state.
    void change(const caraway::base::change_id& id,
                const caraway::net::platform_callback<caraway::config::change_record>& done) const;
    /// The newest acceptances, newest first.
    void log(std::size_t most,
             const caraway::net::platform_callback<std::vector<caraway::config::log_record>>& done)
        const;
    /// The document that was accepted as this version.
    void show(caraway::base::config_version version,
              const caraway::net::platform_callback<stored_document>& done) const;

    /// Makes an open change found by changes(); calls back when that is done or can't be.
    void list(const caraway::base::change_id& id, const std::function<void()>& done) const;
    void unlist(const caraway::base::change_id& id) const;

private:
    void show_document(stored_document wanted,
                       const caraway::net::platform_callback<stored_document>& done) const;

    caraway::net::platform_client& platform_;
};

}  // namespace carawayd::configuration
