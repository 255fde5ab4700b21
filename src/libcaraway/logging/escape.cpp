#include "libcaraway/logging/escape.hpp"

namespace caraway::logging
{

namespace
{

/// Whether some readers treat the character as a line break, or terminals as part of a control
/// sequence.
bool is_control(char16_t code_unit)
{
    return code_unit < 0x20 || (code_unit >= 0x7f && code_unit < 0xa0) || code_unit == 0x2028 ||
           code_unit == 0x2029;
}

QString control_escape(char16_t code_unit)
{
    return code_unit == u'\n'
               ? QStringLiteral("\\n")
               : QStringLiteral("\\u%1").arg(static_cast<uint>(code_unit), 4, 16, QChar(u'0'));
}

}  // namespace

std::string printable(const QString& text)
{
    QString out;
    out.reserve(text.size());
    for (const QChar c : text)
    {
        out += is_control(c.unicode()) ? control_escape(c.unicode()) : QString(c);
    }
    return out.toStdString();
}

std::string escaped(const QString& text)
{
    QString quoted;
    quoted.reserve(text.size());
    for (const QChar c : text)
    {
        if (c == u'"' || c == u'\\')
        {
            quoted += u'\\';
        }
        quoted += c;
    }
    return printable(quoted);
}

}  // namespace caraway::logging
