#include "carawayctl/key_command.hpp"

#include "carawayctl/output.hpp"

#include <QCryptographicHash>
#include <QRandomGenerator>

#include <array>
#include <iostream>

namespace caraway::ctl
{

namespace
{

/// 256 bits, from the system's source of randomness.
QByteArray random_key()
{
    std::array<quint32, 8> words{};
    QRandomGenerator::system()->fillRange(words.data(), static_cast<qsizetype>(words.size()));
    const QByteArray bytes(reinterpret_cast<const char*>(words.data()), sizeof words);
    return bytes.toBase64(QByteArray::Base64UrlEncoding | QByteArray::OmitTrailingEquals);
}

}  // namespace

exit_code run_key_new(bool json)
{
    const QByteArray key = random_key();
    const QByteArray hash = QCryptographicHash::hash(key, QCryptographicHash::Sha256).toHex();
    if (json)
    {
        print_json({{"key", QString::fromLatin1(key)}, {"sha256", QString::fromLatin1(hash)}});
        return exit_code::ok;
    }
    std::cout << "key     " << key.toStdString() << "\nsha256  " << hash.toStdString() << '\n';
    return exit_code::ok;
}

}  // namespace caraway::ctl
