#include "carawayctl/session_setup.hpp"

#include <QFile>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace caraway::ctl
{

namespace
{

constexpr qint64 max_key_bytes = 1024;

/// Keys travel in an HTTP header, where a space or an end of line would mean something else.
base::result<logging::secret> checked_key(const QByteArray& text, const std::string& source)
{
    const QByteArray key = text.trimmed();
    const bool printable = std::ranges::all_of(key, [](char c) { return c > ' ' && c < 0x7f; });
    if (key.isEmpty() || key.size() > max_key_bytes || !printable)
    {
        return base::make_error(base::errc::invalid_argument, source + " holds no key.");
    }
    return logging::secret(key.toStdString());
}

}  // namespace

base::result<std::vector<router_address>> parse_addresses(const std::vector<std::string>& texts)
{
    std::vector<router_address> out;
    for (const std::string& text : texts)
    {
        const auto address = parse_address(text);
        if (!address)
        {
            return base::make_error(base::errc::invalid_argument,
                                    "\"" + text + "\" is no router's address; write HOST:PORT.");
        }
        out.push_back(*address);
    }
    return out;
}

base::result<logging::secret> find_key(const std::string& key_file)
{
    if (!key_file.empty())
    {
        QFile file(QString::fromStdString(key_file));
        if (!file.open(QIODevice::ReadOnly))
        {
            return base::make_error(base::errc::invalid_argument,
                                    key_file +
                                        " can't be read: " + file.errorString().toStdString());
        }
        return checked_key(file.read(max_key_bytes + 2), key_file);
    }
    const char* variable = std::getenv("CARAWAY_KEY");
    if (variable == nullptr || *variable == '\0')
    {
        return logging::secret();
    }
    return checked_key(QByteArray(variable), "CARAWAY_KEY");
}

}  // namespace caraway::ctl
