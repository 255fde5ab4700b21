#pragma once

#include <QByteArray>
#include <QIODevice>

namespace caraway::net
{

/// A request's body that can be read once. Qt sends a request again on its own, on a new
/// connection, when the upstream closed before the end of an answer, even in the middle of one: the
/// upstream runs it twice, or an answer is put together from two. It first rewinds the body, and
/// gives up where that fails. So every request gets such a body, also an empty one.
class http_upload_device : public QIODevice
{
    Q_OBJECT

public:
    explicit http_upload_device(QByteArray body, QObject* parent = nullptr);

    bool isSequential() const override;
    bool seek(qint64 position) override;
    qint64 bytesAvailable() const override;

Q_SIGNALS:
    /// Qt reads a body once the connection stands.
    void read_begun();

protected:
    qint64 readData(char* data, qint64 size) override;
    qint64 writeData(const char* data, qint64 size) override;

private:
    QByteArray body_;
    qsizetype read_ = 0;
};

}  // namespace caraway::net
