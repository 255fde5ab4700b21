#pragma once

#include <QByteArray>
#include <QIODevice>

namespace caraway::rpc
{

/// The body of a POST that can't be sent twice. When a server reads a request and closes the
/// connection without an answer, Qt sends the request again by itself; a call would be executed
/// twice. A sequential device can't be rewound, so Qt gives up with ContentReSendError instead.
class read_once_body final : public QIODevice
{
public:
    explicit read_once_body(QByteArray bytes, QObject* parent = nullptr);

    bool isSequential() const override;
    qint64 bytesAvailable() const override;
    bool atEnd() const override;

    /// Whether any of it has been taken for sending. While false, no server can have executed the
    /// request, because it promises a body.
    bool touched() const
    {
        return position_ > 0;
    }

protected:
    qint64 readData(char* data, qint64 max_size) override;
    qint64 writeData(const char* data, qint64 size) override;

private:
    QByteArray bytes_;
    qint64 position_ = 0;
};

}  // namespace caraway::rpc
