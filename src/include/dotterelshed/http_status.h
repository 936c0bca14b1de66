#ifndef DOTTERELSHED_HTTP_STATUS_H_
#define DOTTERELSHED_HTTP_STATUS_H_

/// @file
/// Status codes of HTTP that hosts answer with or look for.

namespace dotterelshed {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusTimeout = 408;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusBodyTooLarge = 413;
inline constexpr int kStatusMisdirected = 421;
inline constexpr int kStatusTooMany = 429;
inline constexpr int kStatusHeaderTooLarge = 431;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

inline auto IsSuccess(int status) -> bool {
  constexpr int kFirstRedirect = 300;
  return status >= kStatusOk && status < kFirstRedirect;
}

}  // namespace dotterelshed

#endif  // DOTTERELSHED_HTTP_STATUS_H_
