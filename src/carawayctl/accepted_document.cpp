#include "carawayctl/accepted_document.hpp"

#include "libcaraway/config/document.hpp"
#include "libcaraway/rpc/methods.hpp"

#include <QJsonDocument>

namespace caraway::ctl
{

base::result<accepted_document> fetch_document(const session& fleet, const std::string& version)
{
    QJsonObject params;
    if (!version.empty())
    {
        bool is_number = false;
        params["version"] = QString::fromStdString(version).toLongLong(&is_number);
        if (!is_number)
        {
            return base::make_error(base::errc::invalid_argument, "A version is a number.");
        }
    }
    BOOST_OUTCOME_TRY(answer, fleet.read(rpc::methods::config_show, params));
    accepted_document out{.version = answer["version"].toInteger(),
                          .hash = answer["hash"].toString(),
                          .bytes = QByteArray::fromBase64(answer["document"].toString().toLatin1()),
                          .json = {}};
    if (out.version == 0)
    {
        return base::make_error(base::errc::not_found,
                                "No configuration has been accepted so far.");
    }
    if (config::sha256(out.bytes) != out.hash.toStdString())
    {
        return base::make_error(base::errc::corrupt,
                                "The document is not the one that its hash names.");
    }
    out.json = QJsonDocument::fromJson(out.bytes).object();
    return out;
}

base::result<accepted_document> fetch_base(const session& fleet)
{
    auto document = fetch_document(fleet, {});
    if (document.has_error() && document.error().code == base::errc::not_found)
    {
        return accepted_document{};
    }
    return document;
}

}  // namespace caraway::ctl
