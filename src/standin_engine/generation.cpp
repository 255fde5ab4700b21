#include "standin_engine/generation.hpp"

#include <algorithm>

namespace standin_engine
{

generation::generation(std::shared_ptr<standin::exchange> call, generation_request request,
                       QByteArray id)
    : call_(std::move(call)), request_(std::move(request)), text_(request_, std::move(id)),
      next_token_(request_.resume_from)
{
}

void generation::start(work_time first_token, std::optional<cut> break_off)
{
    first_token_ = first_token;
    cut_ = break_off;
    if (request_.stream)
    {
        call_->begin_stream(200, "text/event-stream");
        if (request_.resume_from == 0)
        {
            call_->write_chunk(text_.first_event());
        }
    }
}

int generation::advance(work_time now, work_time token_time)
{
    const int first = next_token_;
    int end = std::min(request_.tokens, request_.resume_from + due(now, token_time));
    const bool cut_midway = cut_ && cut_->after_tokens >= 0;
    if (cut_midway)
    {
        end = std::min(end, request_.resume_from + cut_->after_tokens);
    }
    while (next_token_ < end)
    {
        if (request_.stream)
        {
            call_->write_chunk(text_.token_event(next_token_));
        }
        ++next_token_;
    }
    const bool cut_now = cut_midway && next_token_ >= request_.resume_from + cut_->after_tokens;
    const bool all_out = next_token_ >= request_.tokens && now >= first_token_;
    if (cut_now || (all_out && cut_))
    {
        break_off_now();
    }
    else if (all_out)
    {
        complete();
    }
    return next_token_ - first;
}

bool generation::over() const
{
    return over_;
}

bool generation::whole() const
{
    return over_ && !cut_;
}

const generation_request& generation::request() const
{
    return request_;
}

standin::exchange& generation::call() const
{
    return *call_;
}

int generation::due(work_time now, work_time token_time) const
{
    if (now < first_token_)
    {
        return 0;
    }
    if (token_time <= work_time::zero())
    {
        return request_.tokens;
    }
    return 1 + static_cast<int>((now - first_token_) / token_time);
}

void generation::complete()
{
    over_ = true;
    if (!request_.stream)
    {
        call_->respond({.body = text_.whole_body(request_)});
        return;
    }
    call_->write_chunk(text_.last_event(request_));
    if (request_.include_usage)
    {
        call_->write_chunk(text_.usage_event(request_));
    }
    call_->write_chunk(answer_text::done_event());
    call_->end_stream();
}

void generation::break_off_now()
{
    over_ = true;
    if (!request_.stream)
    {
        call_->respond_cut({.body = text_.whole_body(request_)});
    }
    else if (cut_->clean)
    {
        call_->end_stream();
    }
    else
    {
        call_->close();
    }
}

}  // namespace standin_engine
