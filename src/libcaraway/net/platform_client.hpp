#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/net/platform_channel.hpp"
#include "libcaraway/net/platform_transport.hpp"
#include "libcaraway/net/platform_types.hpp"

#include <QJsonObject>
#include <QObject>
#include <QUrl>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caraway::net
{

struct platform_client_options
{
    QUrl endpoint{};  ///< As in http://10.0.0.1:8000; serves all three interfaces.
    std::chrono::milliseconds table_timeout{2000};   ///< Of one attempt.
    std::chrono::milliseconds object_timeout{5000};  ///< Of one attempt.
    platform_channel_options channel{};              ///< Of each of the three services.
};

/// What happened to the operations of one kind since the start.
struct platform_counters
{
    std::uint64_t started = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t retries = 0;
    std::map<base::errc, std::uint64_t> errors;
    base::duration latency_sum{};
    base::duration latency_max{};
};

/// The platform's table service, object store and VM list, asynchronously. It lives in one thread,
/// the control thread, and calls back there, never within the call itself. When it is destroyed,
/// the callbacks of what is under way are dropped.
///
/// Errors of every operation: unavailable (had no effect: no connection, throttled, 503, circuit
/// breaker open), timeout (of a write: before anything was sent), corrupt. Of reads: not_found. Of
/// writes: conflict (the condition doesn't hold; read and decide anew) and unknown_effect (no
/// answer came: read to learn whether it took effect). Reads are tried again a few times, writes
/// never are, and platform_upload keeps Qt from doing so.
class platform_client : public QObject
{
public:
    /// Told about each ended operation, for the metrics; nothing stands for success.
    using observer =
        std::function<void(platform_operation, std::optional<base::errc>, base::duration)>;

    /// `random` gives numbers in [0, 1).
    platform_client(platform_client_options options, const base::clock& clock,
                    std::function<double()> random, QObject* parent = nullptr);
    ~platform_client() override;

    /// A consistent read. A silent re-send by Qt is harmless: it only reads again.
    void get(const std::string& pk, const std::string& sk, platform_callback<platform_row> done);

    /// All rows of a partition whose sort key begins so, in its order; consistent within a page. A
    /// silent re-send by Qt is harmless: it only reads again.
    void query(const std::string& pk, const std::string& sk_prefix,
               platform_callback<std::vector<platform_row>> done);

    /// Gives the new revision. Sent once, see platform_upload; were it sent again, a conditional
    /// put would meet its own effect as a conflict, which a reader resolves by the row's content.
    void put(const platform_row& row, const write_condition& condition,
             platform_callback<row_revision> done);

    /// Sent once; sent again, it would find the row gone already.
    void remove(const platform_row& row, const write_condition& condition,
                platform_callback<void> done);

    /// All or nothing. After unknown_effect the same writes may be given again with the same token
    /// (1 to 36 characters): the platform carries them out once, however often it is asked.
    void transact(const std::vector<platform_write>& writes,
                  const std::string& client_request_token, platform_callback<void> done);

    /// A whole object; whether it matches its hash is for the caller to check. A silent re-send by
    /// Qt is harmless: it only reads again.
    void get_object(const std::string& key, platform_callback<QByteArray> done);

    /// Harmless however often it arrives: an object is named by the hash of its content, so that
    /// a repeat writes the same. May be repeated after unknown_effect.
    void put_object(const std::string& key, const QByteArray& bytes, platform_callback<void> done);

    /// A silent re-send by Qt is harmless: it only reads again.
    void list_vms(platform_callback<vm_list> done);

    /// Whether the circuit breaker of the operation's service lets it through.
    bool reachable(platform_operation operation) const;

    const platform_counters& counters(platform_operation operation) const;

    void set_observer(observer observe);

    /// State and counters, for the dump of the process.
    QJsonObject dump() const;

private:
    enum class service
    {
        table,
        objects,
        vms,
    };
    static constexpr std::size_t service_count = 3;

    static service service_of(platform_operation operation);
    std::unique_ptr<platform_channel> make_channel(service which);
    platform_request probe_request(service which) const;

    template <class T, class Decode>
    void start(platform_operation operation, platform_request request, Decode decode,
               platform_callback<T> done);
    void query_page(const std::string& pk, const std::string& sk_prefix,
                    const std::optional<QJsonObject>& from,
                    const std::shared_ptr<std::vector<platform_row>>& rows,
                    platform_callback<std::vector<platform_row>> done);
    platform_request table_request(const char* target, QByteArray body, bool write) const;
    platform_request vms_request() const;
    platform_request object_request(const std::string& key) const;
    void conclude(platform_call& call);

    platform_client_options options_;
    const base::clock& clock_;
    std::function<double()> random_;
    observer observe_;
    std::array<platform_counters, platform_operation_count> counters_;
    std::array<std::unique_ptr<platform_channel>, service_count> channels_;
};

}  // namespace caraway::net
