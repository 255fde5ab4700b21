#pragma once

#include <QByteArray>
#include <QIODevice>

namespace caraway::net
{

/// The body of a write, readable once. QNetworkAccessManager silently sends a request again when a
/// connection closes without an answer; the platform would then see the write twice, and the second
/// answer (a conflict with our own first write, or a 503 after it took effect) would be taken for
/// the truth. A sequential device can't be rewound, so that Qt reports ContentReSendError instead.
class platform_upload final : public QIODevice
{
public:
    explicit platform_upload(QByteArray body);

    /// Whether any byte was taken. If not, provably none reached the platform.
    bool taken() const
    {
        return position_ > 0;
    }

    bool isSequential() const override;
    bool atEnd() const override;
    qint64 bytesAvailable() const override;
    /// Only before the first byte was taken; then nothing can be doubled.
    bool reset() override;

protected:
    qint64 readData(char* data, qint64 max_size) override;
    qint64 writeData(const char* data, qint64 size) override;

private:
    QByteArray body_;
    qint64 position_ = 0;
};

}  // namespace caraway::net
