// HTTP status codes used by the system's interfaces.
#pragma once

namespace ebonymount::http {

constexpr int CONTINUE = 100;
constexpr int OK = 200;
constexpr int CREATED = 201;
constexpr int MULTIPLE_CHOICES = 300;
constexpr int BAD_REQUEST = 400;
constexpr int NOT_FOUND = 404;
constexpr int REQUEST_TIMEOUT = 408;
constexpr int CONFLICT = 409;
constexpr int GONE = 410;
constexpr int PRECONDITION_FAILED = 412;
constexpr int TOO_LARGE = 413;
constexpr int MISDIRECTED = 421;
constexpr int UNPROCESSABLE = 422;
constexpr int TOO_MANY_REQUESTS = 429;
constexpr int HEADERS_TOO_LARGE = 431;
/// Sent by targets for a request that was cancelled or exceeded its deadline.
constexpr int CANCELLED = 499;
constexpr int INTERNAL_ERROR = 500;
constexpr int BAD_GATEWAY = 502;
constexpr int UNAVAILABLE = 503;
constexpr int TIMEOUT = 504;
/// No status is greater.
constexpr int LAST_STATUS = 599;

}  // namespace ebonymount::http
