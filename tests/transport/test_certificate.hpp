#pragma once

#include <cstdio>
#include <filesystem>
#include <memory>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <stdexcept>

namespace auburnchute::tests {

/// \brief Writes a key and a certificate for it that it signs itself, valid for a day, as PEM files.
/// \throws std::runtime_error if that fails.
inline void write_certificate(std::filesystem::path const& certificate_file,
                              std::filesystem::path const& key_file)
{
    constexpr long day_seconds = 24 * 60 * 60;
    std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> const key{EVP_EC_gen("P-256"), &EVP_PKEY_free};
    std::unique_ptr<X509, decltype(&X509_free)> const certificate{X509_new(), &X509_free};
    auto* const name = X509_get_subject_name(certificate.get());
    bool const made =
        key && ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1) == 1 &&
        X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -day_seconds) != nullptr &&
        X509_gmtime_adj(X509_getm_notAfter(certificate.get()), day_seconds) != nullptr &&
        X509_set_pubkey(certificate.get(), key.get()) == 1 &&
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<unsigned char const*>("test"),
                                   -1, -1, 0) == 1 &&
        X509_set_issuer_name(certificate.get(), name) == 1 &&
        X509_sign(certificate.get(), key.get(), EVP_sha256()) > 0;
    auto const write = [](std::filesystem::path const& path, auto const& writer) {
        std::unique_ptr<std::FILE, decltype(&std::fclose)> const file{std::fopen(path.c_str(), "w"),
                                                                      &std::fclose};
        return file && writer(file.get()) == 1;
    };
    bool const written =
        made &&
        write(certificate_file, [&](std::FILE* file) { return PEM_write_X509(file, certificate.get()); }) &&
        write(key_file, [&](std::FILE* file) {
            return PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
    if (!written) {
        throw std::runtime_error{"no certificate could be made"};
    }
}

} // namespace auburnchute::tests
