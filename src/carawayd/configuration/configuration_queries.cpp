#include "carawayd/configuration/configuration_queries.hpp"

#include "carawayd/configuration/row_bytes.hpp"
#include "libcaraway/config/document.hpp"
#include "libcaraway/net/platform_client.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace carawayd::configuration
{

namespace base = caraway::base;
namespace config = caraway::config;
namespace net = caraway::net;

namespace
{

using base::errc;
using net::platform_callback;
using net::platform_row;

constexpr const char* list_pk = "changes";
/// Versions whose sort keys have all but these last digits in common are read by one query.
constexpr std::size_t page_digits = 2;
constexpr std::uint64_t page_size = 100;

platform_row list_row(const base::change_id& id)
{
    return {.pk = list_pk, .sk = id.str()};
}

/// Reads the changes of one listing, all at a time.
struct change_listing
{
    const configuration_queries queries;
    platform_callback<std::vector<config::change_record>> done;
    std::size_t missing = 0;
    std::vector<config::change_record> open{};
    std::optional<base::error> failure{};

    static void read(const std::shared_ptr<change_listing>& self,
                     const std::vector<platform_row>& rows);
    void take(const base::change_id& id, const base::result<config::change_record>& record);
    void conclude();
};

void change_listing::read(const std::shared_ptr<change_listing>& self,
                          const std::vector<platform_row>& rows)
{
    self->missing = std::min(rows.size(), configuration_queries::most_changes);
    if (self->missing == 0)
    {
        self->conclude();
        return;
    }
    for (std::size_t index = 0, count = self->missing; index < count; ++index)
    {
        const base::change_id id(rows[index].sk);
        self->queries.change(id, [self, id](const base::result<config::change_record>& record)
                             { self->take(id, record); });
    }
}

void change_listing::take(const base::change_id& id,
                          const base::result<config::change_record>& record)
{
    if (record && record.value().state == config::change_state::open)
    {
        open.push_back(record.value());
    }
    else if (record || record.error().code == errc::not_found)
    {
        queries.unlist(id);
    }
    else
    {
        failure = record.error();
    }
    if (--missing == 0)
    {
        conclude();
    }
}

void change_listing::conclude()
{
    if (failure)
    {
        done(std::move(*failure));
        return;
    }
    std::sort(open.begin(), open.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    done(std::move(open));
}

/// Walks the log from the newest version back, one page of versions at a time.
struct log_reading
{
    net::platform_client& platform;
    std::size_t most;
    platform_callback<std::vector<config::log_record>> done;
    std::vector<config::log_record> newest_first{};

    static void read(const std::shared_ptr<log_reading>& self, std::uint64_t version);
    static void take(const std::shared_ptr<log_reading>& self, std::uint64_t version,
                     const base::result<std::vector<platform_row>>& rows);
    base::result<void> add(const std::vector<platform_row>& rows);
};

void log_reading::read(const std::shared_ptr<log_reading>& self, std::uint64_t version)
{
    const config::row_key key = config::log_key(base::config_version{version});
    self->platform.query(key.pk, key.sk.substr(0, key.sk.size() - page_digits),
                         [self, version](const base::result<std::vector<platform_row>>& rows)
                         { take(self, version, rows); });
}

void log_reading::take(const std::shared_ptr<log_reading>& self, std::uint64_t version,
                       const base::result<std::vector<platform_row>>& rows)
{
    const auto added = rows ? self->add(rows.value()) : base::result<void>(rows.error());
    if (!added)
    {
        self->done(added.error());
        return;
    }
    const std::uint64_t page = version / page_size;
    if (page == 0 || self->newest_first.size() >= self->most)
    {
        self->done(std::move(self->newest_first));
        return;
    }
    read(self, page * page_size - 1);
}

base::result<void> log_reading::add(const std::vector<platform_row>& rows)
{
    for (auto row = rows.rbegin(); row != rows.rend() && newest_first.size() < most; ++row)
    {
        BOOST_OUTCOME_TRY(record, config::parse_log(body_bytes(*row)));
        newest_first.push_back(std::move(record));
    }
    return base::success();
}

}  // namespace

configuration_queries::configuration_queries(net::platform_client& platform) : platform_(platform)
{
}

void configuration_queries::changes(
    const platform_callback<std::vector<config::change_record>>& done) const
{
    platform_.query(list_pk, "",
                    [self = *this, done](const base::result<std::vector<platform_row>>& rows)
                    {
                        if (!rows)
                        {
                            done(rows.error());
                            return;
                        }
                        auto listing = std::make_shared<change_listing>(
                            change_listing{.queries = self, .done = done});
                        change_listing::read(listing, rows.value());
                    });
}

void configuration_queries::change(const base::change_id& id,
                                   const platform_callback<config::change_record>& done) const
{
    const config::row_key key = config::change_key(id);
    platform_.get(key.pk, key.sk,
                  [done](const base::result<platform_row>& row)
                  {
                      done(row ? config::parse_change(body_bytes(row.value()))
                               : base::result<config::change_record>(row.error()));
                  });
}

void configuration_queries::log(
    std::size_t most, const platform_callback<std::vector<config::log_record>>& done) const
{
    const config::row_key key = config::head_key();
    platform_.get(key.pk, key.sk,
                  [self = *this, most, done](const base::result<platform_row>& row)
                  {
                      if (!row && row.error().code == errc::not_found)
                      {
                          done(std::vector<config::log_record>());
                          return;
                      }
                      const auto head = row ? config::parse_head(body_bytes(row.value()))
                                            : base::result<config::head_record>(row.error());
                      if (!head)
                      {
                          done(head.error());
                          return;
                      }
                      auto reading = std::make_shared<log_reading>(
                          log_reading{.platform = self.platform_, .most = most, .done = done});
                      log_reading::read(reading, static_cast<std::uint64_t>(head.value().version));
                  });
}

void configuration_queries::show(base::config_version version,
                                 const platform_callback<stored_document>& done) const
{
    const config::row_key key = config::log_key(version);
    platform_.get(key.pk, key.sk,
                  [self = *this, done](const base::result<platform_row>& row)
                  {
                      const auto record = row ? config::parse_log(body_bytes(row.value()))
                                              : base::result<config::log_record>(row.error());
                      if (!record)
                      {
                          done(record.error());
                          return;
                      }
                      self.show_document({.version = record.value().version,
                                          .hash = record.value().hash,
                                          .bytes = {}},
                                         done);
                  });
}

void configuration_queries::show_document(stored_document wanted,
                                          const platform_callback<stored_document>& done) const
{
    platform_.get_object(
        config::object_name(wanted.hash),
        [wanted, done](const base::result<QByteArray>& bytes) mutable
        {
            if (!bytes)
            {
                done(bytes.error());
                return;
            }
            if (config::sha256(bytes.value()) != wanted.hash)
            {
                done(base::make_error(errc::corrupt, "the stored document has another hash"));
                return;
            }
            wanted.bytes = bytes.value();
            done(std::move(wanted));
        });
}

void configuration_queries::list(const base::change_id& id, const std::function<void()>& done) const
{
    // A conflict only says that it is listed already.
    platform_.put(list_row(id), net::write_condition::absent(),
                  [done](const base::result<net::row_revision>&) { done(); });
}

void configuration_queries::unlist(const base::change_id& id) const
{
    platform_.remove(list_row(id), net::write_condition::none(), [](const base::result<void>&) {});
}

}  // namespace carawayd::configuration
