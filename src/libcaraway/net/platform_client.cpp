#include "libcaraway/net/platform_client.hpp"

#include "libcaraway/net/platform_call.hpp"
#include "libcaraway/net/platform_codec.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace caraway::net
{

namespace
{

using base::errc;

constexpr const char* object_prefix = "/caraway/";
/// Need not exist: not_found is an answer too.
constexpr const char* probe_pk = "config";
constexpr const char* probe_sk = "head";
constexpr const char* probe_object = "probe";

/// A success whose body says nothing more.
base::result<void> nothing(const QByteArray& /*answer*/)
{
    return base::success();
}

}  // namespace

platform_client::platform_client(platform_client_options options, const base::clock& clock,
                                 std::function<double()> random, QObject* parent)
    : QObject(parent), options_(std::move(options)), clock_(clock),
      random_(std::move(random)), channels_{make_channel(service::table),
                                            make_channel(service::objects),
                                            make_channel(service::vms)}
{
}

platform_client::~platform_client() = default;

std::unique_ptr<platform_channel> platform_client::make_channel(service which)
{
    return std::make_unique<platform_channel>(
        options_.channel, platform_transport::options{.endpoint = options_.endpoint},
        probe_request(which), random_, [this](platform_call& call) { conclude(call); });
}

platform_request platform_client::probe_request(service which) const
{
    switch (which)
    {
    case service::table:
        return table_request("GetItem", platform_codec::encode_get(probe_pk, probe_sk), false);
    case service::objects:
        return object_request(probe_object);
    case service::vms:
        return vms_request();
    }
    return vms_request();
}

platform_client::service platform_client::service_of(platform_operation operation)
{
    switch (operation)
    {
    case platform_operation::get_object:
    case platform_operation::put_object:
        return service::objects;
    case platform_operation::list_vms:
        return service::vms;
    default:
        return service::table;
    }
}

void platform_client::get(const std::string& pk, const std::string& sk,
                          platform_callback<platform_row> done)
{
    start<platform_row>(platform_operation::get,
                        table_request("GetItem", platform_codec::encode_get(pk, sk), false),
                        platform_codec::decode_get, std::move(done));
}

void platform_client::query(const std::string& pk, const std::string& sk_prefix,
                            platform_callback<std::vector<platform_row>> done)
{
    query_page(pk, sk_prefix, std::nullopt, std::make_shared<std::vector<platform_row>>(),
               std::move(done));
}

void platform_client::query_page(const std::string& pk, const std::string& sk_prefix,
                                 const std::optional<QJsonObject>& from,
                                 const std::shared_ptr<std::vector<platform_row>>& rows,
                                 platform_callback<std::vector<platform_row>> done)
{
    auto next = [this, pk, sk_prefix, rows,
                 done = std::move(done)](base::result<platform_codec::query_page> answer)
    {
        if (!answer)
        {
            done(std::move(answer).assume_error());
            return;
        }
        platform_codec::query_page page = std::move(answer).assume_value();
        rows->insert(rows->end(), std::make_move_iterator(page.rows.begin()),
                     std::make_move_iterator(page.rows.end()));
        if (page.next)
        {
            query_page(pk, sk_prefix, page.next, rows, done);
            return;
        }
        done(std::move(*rows));
    };
    start<platform_codec::query_page>(
        platform_operation::query,
        table_request("Query", platform_codec::encode_query(pk, sk_prefix, from), false),
        platform_codec::decode_query, std::move(next));
}

void platform_client::put(const platform_row& row, const write_condition& condition,
                          platform_callback<row_revision> done)
{
    const row_revision written = platform_codec::written_revision(row, condition);
    start<row_revision>(
        platform_operation::put,
        table_request("PutItem", platform_codec::encode_put(row, condition), true),
        [written](const QByteArray&) -> base::result<row_revision> { return written; },
        std::move(done));
}

void platform_client::remove(const platform_row& row, const write_condition& condition,
                             platform_callback<void> done)
{
    start<void>(platform_operation::remove,
                table_request("DeleteItem", platform_codec::encode_remove(row, condition), true),
                nothing, std::move(done));
}

void platform_client::transact(const std::vector<platform_write>& writes,
                               const std::string& client_request_token,
                               platform_callback<void> done)
{
    const QByteArray body = platform_codec::encode_transact(writes, client_request_token);
    start<void>(platform_operation::transact, table_request("TransactWriteItems", body, true),
                nothing, std::move(done));
}

void platform_client::get_object(const std::string& key, platform_callback<QByteArray> done)
{
    start<QByteArray>(
        platform_operation::get_object, object_request(key),
        [](const QByteArray& body) -> base::result<QByteArray> { return body; }, std::move(done));
}

void platform_client::put_object(const std::string& key, const QByteArray& bytes,
                                 platform_callback<void> done)
{
    platform_request request = object_request(key);
    request.method = platform_request::verb::put;
    request.content_type = "application/octet-stream";
    request.body = bytes;
    request.write = true;
    start<void>(platform_operation::put_object, std::move(request), nothing, std::move(done));
}

void platform_client::list_vms(platform_callback<vm_list> done)
{
    start<vm_list>(platform_operation::list_vms, vms_request(), platform_codec::decode_vms,
                   std::move(done));
}

bool platform_client::reachable(platform_operation operation) const
{
    return channels_.at(static_cast<std::size_t>(service_of(operation)))->reachable();
}

template <class T, class Decode>
void platform_client::start(platform_operation operation, platform_request request, Decode decode,
                            platform_callback<T> done)
{
    ++counters_.at(static_cast<std::size_t>(operation)).started;
    channels_.at(static_cast<std::size_t>(service_of(operation)))
        ->submit(std::make_shared<typed_platform_call<T>>(
            operation, std::move(request), clock_.now(), std::move(decode), std::move(done)));
}

platform_request platform_client::table_request(const char* target, QByteArray body,
                                                bool write) const
{
    return {.method = platform_request::verb::post,
            .path = "/",
            .content_type = "application/x-amz-json-1.0",
            .target = QByteArray("DynamoDB_20120810.") + target,
            .body = std::move(body),
            .write = write,
            .timeout = options_.table_timeout};
}

platform_request platform_client::object_request(const std::string& key) const
{
    return {.method = platform_request::verb::get,
            .path = object_prefix + QByteArray::fromStdString(key),
            .timeout = options_.object_timeout};
}

platform_request platform_client::vms_request() const
{
    return {
        .method = platform_request::verb::get, .path = "/vms", .timeout = options_.table_timeout};
}

void platform_client::conclude(platform_call& call)
{
    const base::duration latency = clock_.now() - call.started;
    const std::optional<errc> code = call.error();
    platform_counters& counted = counters_.at(static_cast<std::size_t>(call.operation));
    counted.retries += std::max(call.attempts, 1U) - 1;
    counted.latency_sum += latency;
    counted.latency_max = std::max(counted.latency_max, latency);
    if (code)
    {
        ++counted.errors[*code];
    }
    else
    {
        ++counted.succeeded;
    }
    if (observe_)
    {
        observe_(call.operation, code, latency);
    }
    call.deliver();
}

const platform_counters& platform_client::counters(platform_operation operation) const
{
    return counters_.at(static_cast<std::size_t>(operation));
}

void platform_client::set_observer(observer observe)
{
    observe_ = std::move(observe);
}

}  // namespace caraway::net
