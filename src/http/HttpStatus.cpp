#include "http/HttpStatus.h"

namespace redwingseam::http {

using base::ResultCode;

unsigned httpStatusOf(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return 200;
    case ResultCode::MalformedRequest:
    case ResultCode::MissingIdempotencyKey:
        return 400;
    case ResultCode::UnknownClient:
        return 401;
    case ResultCode::UnknownModel:
    case ResultCode::UnknownRoute:
        return 404;
    case ResultCode::ResumeRejected:
    case ResultCode::OutcomeUnknown:
    case ResultCode::KeyInUse:
        return 409;
    case ResultCode::StreamLost:
        return 410;
    case ResultCode::RequestTooLarge:
        return 413;
    case ResultCode::HarmfulRequest:
        return 422;
    case ResultCode::QueueFull:
        return 429;
    case ResultCode::RetriesExhausted:
        return 502;
    default:
        return 503;
    }
}

} // namespace redwingseam::http
