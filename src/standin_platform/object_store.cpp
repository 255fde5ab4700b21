#include "standin_platform/object_store.hpp"

#include <QCryptographicHash>

namespace standin_platform
{

namespace
{

const QByteArray bucket = "/caraway/";

standin::answer error_answer(int status, const QByteArray& code)
{
    return {.status = status,
            .content_type = "application/xml",
            .body = "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<Error><Code>" + code +
                    "</Code></Error>"};
}

standin::answer refused(refusal why)
{
    switch (why)
    {
    case refusal::outage:
        return error_answer(503, "ServiceUnavailable");
    case refusal::failure:
        return error_answer(500, "InternalError");
    case refusal::throttled:
        break;
    }
    return error_answer(503, "SlowDown");
}

QByteArray entity_tag(const QByteArray& content)
{
    return '"' + QCryptographicHash::hash(content, QCryptographicHash::Md5).toHex() + '"';
}

}  // namespace

object_store::object_store(const caraway::base::clock& clock) : gate_(clock, refused) {}

void object_store::handle(const service_gate::call_ptr& call)
{
    const auto& request = call->request();
    const QByteArray key = request.path.mid(bucket.size());
    if (!request.path.startsWith(bucket) || key.isEmpty())
    {
        call->respond(error_answer(404, "NoSuchBucket"));
        return;
    }
    if (request.method == "PUT")
    {
        gate_.pass(call, {.operation = "PutObject", .writes = 1},
                   [this, key, content = request.body] { return put(key, content); });
        return;
    }
    if (request.method == "GET" || request.method == "HEAD")
    {
        const char* name = request.method == "GET" ? "GetObject" : "HeadObject";
        gate_.pass(call, {.operation = name, .reads = 1}, [this, key] { return get(key); });
        return;
    }
    call->respond(error_answer(405, "MethodNotAllowed"));
}

service_gate& object_store::gate()
{
    return gate_;
}

standin::answer object_store::put(const QByteArray& key, const QByteArray& content)
{
    objects_.insert(key, content);
    return {.content_type = "application/xml", .headers = {{"ETag", entity_tag(content)}}};
}

standin::answer object_store::get(const QByteArray& key) const
{
    const auto found = objects_.find(key);
    if (found == objects_.end())
    {
        return error_answer(404, "NoSuchKey");
    }
    return {.content_type = "binary/octet-stream",
            .headers = {{"ETag", entity_tag(*found)}},
            .body = *found};
}

}  // namespace standin_platform
