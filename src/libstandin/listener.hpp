#pragma once

#include <QSocketNotifier>
#include <QTcpServer>

#include <map>
#include <memory>

namespace standin
{

/// Accepts connections; can accept some without ever reading from them.
class listener : public QTcpServer
{
public:
    listener();
    ~listener() override;

    /// The next `count` connections are accepted and not read; -1 means all, 0 none. A connection
    /// that begins with a request for the stand-in itself (`/_...`) is served all the same, or the
    /// switch could not be turned off; its bytes are only peeked at until then.
    void set_silent_accept(int count);

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    void first_bytes(int descriptor);

    int silent_accept_ = 0;
    std::map<int, std::unique_ptr<QSocketNotifier>> unread_;
};

}  // namespace standin
