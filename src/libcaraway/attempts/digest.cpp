#include "libcaraway/attempts/digest.hpp"

#include <QByteArray>
#include <QByteArrayView>
#include <QCryptographicHash>

#include <string>

namespace caraway::attempts
{

namespace
{

QByteArrayView view(std::string_view bytes)
{
    return {bytes.data(), static_cast<qsizetype>(bytes.size())};
}

}  // namespace

config::sha256_hex sha256(std::string_view bytes)
{
    QCryptographicHash hash(QCryptographicHash::Sha256);
    hash.addData(view(bytes));
    return hash.result().toHex().toStdString();
}

config::sha256_hex sha256(std::initializer_list<std::string_view> fields)
{
    QCryptographicHash hash(QCryptographicHash::Sha256);
    for (const auto field : fields)
    {
        hash.addData(view(std::to_string(field.size()) + ':'));
        hash.addData(view(field));
    }
    return hash.result().toHex().toStdString();
}

}  // namespace caraway::attempts
