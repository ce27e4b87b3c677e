/*
 * API keys: og_<id>_<43 characters of base64url>.
 *
 * The last part is 256 random bits, which cannot be guessed, so the hash needs
 * neither a salt nor a slow function.  The tree holds only the hash, so the log
 * or a dump does not reveal a key.  The id is a hash of the same bits under
 * another context and does not reveal them; it names the key in the tree, in
 * audit lines and to operators.
 */

#include <sodium.h>
#include <string.h>

#include "settings.h"

#define KEY_PREFIX "og_"
#define SECRET_BYTES 32
#define SECRET_CHARS 43
#define ID_HASH_BYTES 8   /* an id is this many bytes of hash, as hex */
#define KEY_TEXT_BYTES 80 /* buffer for the text of a key and a NUL */
#define ID_CONTEXT "orioleglade key id"
#define ID_CHARS "abcdefghijklmnopqrstuvwxyz0123456789"
#define SECRET_ALPHABET                                                        \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

G_STATIC_ASSERT(crypto_generichash_BYTES == OGL_HASH_BYTES);

static void
make_id(const uint8_t random[SECRET_BYTES], char id[OGL_KEY_ID_BYTES])
{
	unsigned char digest[crypto_generichash_BYTES];

	crypto_generichash(digest, sizeof(digest), random, SECRET_BYTES,
	    (const unsigned char *)ID_CONTEXT, strlen(ID_CONTEXT));
	sodium_bin2hex(id, OGL_KEY_ID_BYTES, digest, ID_HASH_BYTES);
}

static Ogl__Change *
make_change(const char *id, const char *field, const char *value)
{
	Ogl__Change *c = g_new(Ogl__Change, 1);

	ogl__change__init(c);
	c->path = g_strdup_printf("keys/%s/%s", id, field);
	c->value = g_strdup_printf("\"%s\"", value);
	return c;
}

bool
ogl_key_make(const uint8_t random[32], const char *team, char key_out[80],
    Ogl__Edit **edit, char id_out[32])
{
	char secret[SECRET_CHARS + 1];
	char hex[2 * OGL_HASH_BYTES + 1];
	Ogl__Edit *e;

	if (team[0] != '\0' && !ogl_path_team_valid(team))
		return false;
	make_id(random, id_out);
	sodium_bin2base64(secret, sizeof(secret), random, SECRET_BYTES,
	    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	g_snprintf(key_out, KEY_TEXT_BYTES, KEY_PREFIX "%s_%s", id_out, secret);
	sodium_memzero(secret, sizeof(secret));
	if (!ogl_key_hash(ogl_str(key_out), hex))
		return false;
	e = g_new(Ogl__Edit, 1);
	ogl__edit__init(e);
	e->n_changes = 2;
	e->changes = g_new(Ogl__Change *, 2);
	e->changes[0] =
	    make_change(id_out, ogl_key_settings[OGL_KEY_HASH].name, hex);
	e->changes[1] =
	    make_change(id_out, ogl_key_settings[OGL_KEY_TEAM].name, team);
	*edit = e;
	return true;
}

static bool
is_key_text(const char *text)
{
	size_t n;

	if (!g_str_has_prefix(text, KEY_PREFIX))
		return false;
	text += strlen(KEY_PREFIX);
	n = strspn(text, ID_CHARS);
	if (n == 0 || n >= OGL_KEY_ID_BYTES || text[n] != '_')
		return false;
	text += n + 1;
	return strlen(text) == SECRET_CHARS &&
	       strspn(text, SECRET_ALPHABET) == SECRET_CHARS;
}

bool
ogl_key_hash(struct ogl_str key, char hex[65])
{
	unsigned char hash[OGL_HASH_BYTES];
	char text[KEY_TEXT_BYTES];
	bool ok = false;

	if (key.p == NULL || key.n >= sizeof(text) ||
	    memchr(key.p, '\0', key.n) != NULL)
		return false;
	memcpy(text, key.p, key.n);
	text[key.n] = '\0';
	if (is_key_text(text)) {
		crypto_generichash(hash, sizeof(hash),
		    (const unsigned char *)text, key.n, NULL, 0);
		sodium_bin2hex(hex, 2 * OGL_HASH_BYTES + 1, hash, sizeof(hash));
		ok = true;
	}
	sodium_memzero(text, sizeof(text));
	return ok;
}
